/** Settings of one entry instance. */
@NullMarked
package org.rattanport.kernel.settings;

import org.jspecify.annotations.NullMarked;
