/** Small stand-ins for the platform's services and for backend servers, with the faults that they can show. */
package org.sardineshunt.standin;
