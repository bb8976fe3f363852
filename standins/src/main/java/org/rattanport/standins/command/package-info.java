/** Commands that run stand-ins in separate processes. */
@NullMarked
package org.rattanport.standins.command;

import org.jspecify.annotations.NullMarked;
