/** The limit on memory that is used to buffer data for other processes. */
package org.sardineshunt.coordination.memory;
