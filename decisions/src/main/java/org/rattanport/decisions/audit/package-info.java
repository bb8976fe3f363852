/** Stores the audit trail in the table service. */
@NullMarked
package org.rattanport.decisions.audit;

import org.jspecify.annotations.NullMarked;
