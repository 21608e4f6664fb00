/** Command line for operators. */
package org.sardineshunt.control;
