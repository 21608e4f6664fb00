/** Load and experiment tool: open-loop load by rank, checks of every answer, and reports. */
package org.sardineshunt.load;
