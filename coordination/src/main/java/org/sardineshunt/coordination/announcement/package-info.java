/** Announcements in which an upstream reports its own state, and the newest state that follows from them. */
package org.sardineshunt.coordination.announcement;
