/** Identifiers and other value types of the domain. */
@NullMarked
package org.rattanport.kernel.model;

import org.jspecify.annotations.NullMarked;
