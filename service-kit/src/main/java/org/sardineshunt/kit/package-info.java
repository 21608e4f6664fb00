/** Classes shared by the programs: JSON settings, logs, metrics, HTTP endpoints, command lines and exit codes. */
package org.sardineshunt.kit;
