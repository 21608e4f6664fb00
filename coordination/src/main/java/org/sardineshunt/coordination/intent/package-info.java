/** Intents of operators: label selectors, overrides that stay in force, revisions and conflicts. */
package org.sardineshunt.coordination.intent;
