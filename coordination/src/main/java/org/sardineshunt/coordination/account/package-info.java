/** Client accounts: their keys, and the limits on how many requests they may send. */
package org.sardineshunt.coordination.account;
