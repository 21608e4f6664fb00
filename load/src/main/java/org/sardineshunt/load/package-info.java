/** Load and experiment tool: sends open-loop load by rank, checks every answer and reports the figures. */
package org.sardineshunt.load;
