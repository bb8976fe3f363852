/** Commands of the command line. */
@NullMarked
package org.rattanport.daemon.command;

import org.jspecify.annotations.NullMarked;
