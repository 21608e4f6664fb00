/** The command line of operators. */
package org.sardineshunt.control;
