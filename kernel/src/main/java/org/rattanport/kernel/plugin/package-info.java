/** Plug-ins and the kernel that starts and stops them. */
@NullMarked
package org.rattanport.kernel.plugin;

import org.jspecify.annotations.NullMarked;
