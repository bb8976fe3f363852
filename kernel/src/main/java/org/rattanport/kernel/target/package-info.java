/** Clients of model engines and plain services. */
@NullMarked
package org.rattanport.kernel.target;

import org.jspecify.annotations.NullMarked;
