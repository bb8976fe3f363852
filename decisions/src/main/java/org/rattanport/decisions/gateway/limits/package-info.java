/** What back ends say about the requests that they take: notices and rate limits. */
@NullMarked
package org.rattanport.decisions.gateway.limits;

import org.jspecify.annotations.NullMarked;
