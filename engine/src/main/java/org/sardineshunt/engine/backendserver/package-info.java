/** The home of an upstream: queues attempts, sends them to the upstream beside this node and judges its health. */
package org.sardineshunt.engine.backendserver;
