/** Stand-ins for the platform's services and for backend servers, with faults that tests can inject. */
package org.sardineshunt.standin;
