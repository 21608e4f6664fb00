/** The platform: table service, object store, configuration and claims. */
package org.sardineshunt.node.platform;
