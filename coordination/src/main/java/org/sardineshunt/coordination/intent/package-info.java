/** Labelled intents of operators: selectors, standing overrides, revisions and conflicts. */
package org.sardineshunt.coordination.intent;
