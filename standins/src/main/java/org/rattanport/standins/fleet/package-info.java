/** Fleets of entry instances and stand-ins in one process, and a client for them. */
@NullMarked
package org.rattanport.standins.fleet;

import org.jspecify.annotations.NullMarked;
