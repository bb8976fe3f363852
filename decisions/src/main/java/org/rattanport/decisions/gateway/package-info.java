/** Decisions of the gateway: routes, back ends, placement, retries and the relay of responses. */
@NullMarked
package org.rattanport.decisions.gateway;

import org.jspecify.annotations.NullMarked;
