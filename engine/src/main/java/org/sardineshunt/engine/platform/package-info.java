/** What the engine asks of the table that the platform runs. */
package org.sardineshunt.engine.platform;
