/** The home of the local upstream: queues attempts, sends them to the upstream and judges its health. */
package org.sardineshunt.engine.backendserver;
