/**
 * The process of an entry instance: its start and stop, its log, and the entry point of all
 * commands.
 */
@NullMarked
package org.rattanport.daemon;

import org.jspecify.annotations.NullMarked;
