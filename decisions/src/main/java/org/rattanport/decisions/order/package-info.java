/** Orders to engines: model versions. */
@NullMarked
package org.rattanport.decisions.order;

import org.jspecify.annotations.NullMarked;
