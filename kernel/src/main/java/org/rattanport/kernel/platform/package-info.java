/** Interfaces to the platform's services. */
@NullMarked
package org.rattanport.kernel.platform;

import org.jspecify.annotations.NullMarked;
