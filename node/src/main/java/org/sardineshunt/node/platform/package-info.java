/** Use of the platform: table service, object store, configuration and claims of request keys. */
package org.sardineshunt.node.platform;
