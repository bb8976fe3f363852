/** Processes: one entry instance, and the entry point of all commands. */
@NullMarked
package org.rattanport.daemon;

import org.jspecify.annotations.NullMarked;
