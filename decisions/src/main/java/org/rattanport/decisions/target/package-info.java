/** The known targets, their health and the load estimates of engines. */
@NullMarked
package org.rattanport.decisions.target;

import org.jspecify.annotations.NullMarked;
