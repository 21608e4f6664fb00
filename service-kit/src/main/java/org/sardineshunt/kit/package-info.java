/** What the programs share: checked settings, logs, metrics, HTTP endpoints and exit codes. */
package org.sardineshunt.kit;
