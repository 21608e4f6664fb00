/** Access to the transactional tables of the platform. */
package org.sardineshunt.engine.platform;
