/** The audit trail of changes. */
@NullMarked
package org.rattanport.kernel.audit;

import org.jspecify.annotations.NullMarked;
