/** Entry and home of requests, independent of how upstreams and configuration are announced. */
package org.sardineshunt.engine;
