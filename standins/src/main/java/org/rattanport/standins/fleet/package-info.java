/** Instances and stand-ins together in one process. */
@NullMarked
package org.rattanport.standins.fleet;

import org.jspecify.annotations.NullMarked;
