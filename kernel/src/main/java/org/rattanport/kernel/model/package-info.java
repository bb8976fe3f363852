/** Identities and other small values of the domain. */
@NullMarked
package org.rattanport.kernel.model;

import org.jspecify.annotations.NullMarked;
