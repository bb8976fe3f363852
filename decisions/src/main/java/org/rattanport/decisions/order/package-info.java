/** Orders engines to load model versions. */
@NullMarked
package org.rattanport.decisions.order;

import org.jspecify.annotations.NullMarked;
