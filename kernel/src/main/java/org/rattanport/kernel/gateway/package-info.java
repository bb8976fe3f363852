/**
 * The gateway: requests that pass through unchanged, their routes, and the back ends they reach.
 */
@NullMarked
package org.rattanport.kernel.gateway;

import org.jspecify.annotations.NullMarked;
