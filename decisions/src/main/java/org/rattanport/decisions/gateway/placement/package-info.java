/** Placement of requests at back ends, with the load of engines that several instances share. */
@NullMarked
package org.rattanport.decisions.gateway.placement;

import org.jspecify.annotations.NullMarked;
