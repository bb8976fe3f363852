/** The order in which waiting attempts get an engine. */
@NullMarked
package org.rattanport.decisions.ordering;

import org.jspecify.annotations.NullMarked;
