/** Relays of responses to callers. */
@NullMarked
package org.rattanport.decisions.gateway.relay;

import org.jspecify.annotations.NullMarked;
