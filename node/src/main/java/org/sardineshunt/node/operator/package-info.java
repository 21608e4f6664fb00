/** Operator endpoints for intents, status and metrics. */
package org.sardineshunt.node.operator;
