/** An HTTP/1.1 client and server. */
package org.sardineshunt.engine.http;
