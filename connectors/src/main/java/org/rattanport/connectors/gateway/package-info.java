/** The gateway's HTTP/1.1 side: callers' connections and the requests to back ends. */
@NullMarked
package org.rattanport.connectors.gateway;

import org.jspecify.annotations.NullMarked;
