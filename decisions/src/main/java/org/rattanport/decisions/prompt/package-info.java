/** The path of a prompt from admission to the end of its answer. */
@NullMarked
package org.rattanport.decisions.prompt;

import org.jspecify.annotations.NullMarked;
