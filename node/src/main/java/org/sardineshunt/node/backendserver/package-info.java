/** Backend servers: announcements, queues, health and calls. */
package org.sardineshunt.node.backendserver;
