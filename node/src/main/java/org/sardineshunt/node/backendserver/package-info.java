/** Home of the upstreams: announcements, admission, health checks and calls to backend servers. */
package org.sardineshunt.node.backendserver;
