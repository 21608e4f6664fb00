/** HTTP/1.1 connections, as client and as server. */
package org.sardineshunt.engine.http;
