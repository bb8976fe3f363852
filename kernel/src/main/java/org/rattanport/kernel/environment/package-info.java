/** Environment documents and their versions. */
@NullMarked
package org.rattanport.kernel.environment;

import org.jspecify.annotations.NullMarked;
