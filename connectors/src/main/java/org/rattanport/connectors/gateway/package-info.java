/** HTTP/1.1 of the gateway, for callers, back ends, the store and own pages: one stack for all. */
@NullMarked
package org.rattanport.connectors.gateway;

import org.jspecify.annotations.NullMarked;
