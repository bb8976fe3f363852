/** Service operations, at most once where they may not be repeated. */
@NullMarked
package org.rattanport.decisions.action;

import org.jspecify.annotations.NullMarked;
