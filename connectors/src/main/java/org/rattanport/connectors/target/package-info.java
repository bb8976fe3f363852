/** Clients of model engines and plain services. */
@NullMarked
package org.rattanport.connectors.target;

import org.jspecify.annotations.NullMarked;
