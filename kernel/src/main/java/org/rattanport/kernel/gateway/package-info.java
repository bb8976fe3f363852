/**
 * Types of the gateway, which forwards requests unchanged: requests, routes, back ends and the load
 * of model engines.
 */
@NullMarked
package org.rattanport.kernel.gateway;

import org.jspecify.annotations.NullMarked;
