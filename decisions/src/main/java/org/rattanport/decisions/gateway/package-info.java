/** Decisions of the gateway: routes, back ends, placement, repeats and the relay of answers. */
@NullMarked
package org.rattanport.decisions.gateway;

import org.jspecify.annotations.NullMarked;
