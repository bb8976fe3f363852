/** Admission: checks that refuse a prompt before any engine receives it. */
@NullMarked
package org.rattanport.decisions.admission;

import org.jspecify.annotations.NullMarked;
